/* Constants shared by the modules of the decision logic. */
#ifndef GG_CORE_DEFS_H
#define GG_CORE_DEFS_H

#include <stdint.h>

enum {
	PRIORITY_LEVELS = 4, /* priorities are 0 (the highest) to 3 (the lowest); a larger number
				counts as 3 */
	/* Jobs are sorted by the time at which they must start, earliest first. Each level below
	 * the highest makes this time later by the offset, so of two equally urgent jobs the one
	 * with the higher priority comes first. */
	PRIORITY_OFFSET_US = 60000,
	US_PER_MS = 1000,
	US_PER_SECOND = 1000000,
	CPU_PER_CORE = 1000, /* cpu is counted in thousandths of a core */
	/* Maximum size in bytes of the name of a class, team, zone, host or server, including the
	 * terminating NUL. */
	NAME_BYTES = 64,
};

#endif
