// Command banyanlug carries calls for one instance of a service mesh and
// drives the mesh's configuration.
package main

import "fmt"

func main() { fmt.Println("banyanlug") }
