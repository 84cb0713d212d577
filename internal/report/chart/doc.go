// Package chart draws the line charts of the reports as SVG.
package chart
