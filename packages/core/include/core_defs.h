/* Constants shared by the modules of the decision logic. */
#ifndef GG_CORE_DEFS_H
#define GG_CORE_DEFS_H

#include <stdint.h>

enum {
	PRIORITY_LEVELS = 4, /* number of priority levels, 0 being the highest; higher numbers count
				as the last */
	/* Added per level to the time by which jobs are ordered: of two equally urgent jobs, the
	 * one a level higher is ahead by this much. */
	PRIORITY_OFFSET_US = 60000,
	US_PER_MS = 1000,
	US_PER_SECOND = 1000000,
	/* Maximum size in bytes of the name of a class, team, zone, host or server, including the
	 * terminating NUL. */
	NAME_BYTES = 64,
};

#endif
