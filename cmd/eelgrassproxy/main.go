// Command eelgrassproxy runs one instance of the serving system.
package main

func main() {}
