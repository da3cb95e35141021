// Command standin holds the stand-ins of the outside systems.
package main

func main() {}
