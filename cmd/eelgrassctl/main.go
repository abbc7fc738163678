// Command eelgrassctl is the command line of operators and new users.
package main

func main() {}
