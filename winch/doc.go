// Package winch defines the interfaces to what varies between deployments and the data
// types that the layers of plantainwinch exchange. It imports no other package of the
// project, so that every other one can import it.
package winch
