// Command bluebelltray runs and inspects entry hosts of the request scheduler.
package main

func main() {}
