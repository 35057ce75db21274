// Package examples holds example declarations of whole deployments.
package examples

import _ "embed" // for the declarations

// Logwerk is the declaration of a deployment with two regions and three failure
// domains that keeps logbooks for geocachers.
//
//go:embed logwerk.json
var Logwerk []byte

// Ferrando is the declaration of a deployment with two regions and three failure
// domains that drafts petitions.
//
//go:embed ferrando.json
var Ferrando []byte
