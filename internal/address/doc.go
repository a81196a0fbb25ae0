// Package address decides which addresses may connect, and reads the PROXY headers by which trusted proxies say for whom
// they speak. It works on bytes and addresses that it is given; it neither reads from connections nor closes them.
package address
