package connlimit

import "syscall"

// maxDescriptors bounds what a limit of the process counts for.
const maxDescriptors = 1 << 20

// Descriptors returns the number of file descriptors that this process may use, or 0 if it is not known.
func Descriptors(configured int) int {
	if configured > 0 {
		return configured
	}
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int(min(limit.Cur, maxDescriptors))
}
