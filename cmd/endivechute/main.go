// Command endivechute steers request traffic across regions.
package main

func main() {}
