// Package gladeapi defines the data types that the packages of eelgrassglade share.
package gladeapi
