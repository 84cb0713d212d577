// Package app is the core of the command lines of this project's programs: it
// parses settings from flags and environment variables, runs one subcommand,
// and reports an error as one line on stderr and an exit code.
//
// It depends on no subcommand, so that a program contains only the packages of
// the subcommands that it adds.
package app
