// Package gladefront runs the entry role on the users' platform: it joins the parts and holds no decisions of its own.
package gladefront
