// Gladebench runs demonstrations, load, traces and measurements of eelgrassglade against stand-ins.
package main
