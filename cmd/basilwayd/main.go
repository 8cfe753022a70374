// Command basilwayd is the daemon that runs beside a backend server instance.
package main

func main() {}
