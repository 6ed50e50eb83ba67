/* Types and units shared by the modules of the decision logic. */
#ifndef GG_CORE_DEFS_H
#define GG_CORE_DEFS_H

#include <stdint.h>

enum {
	PRIORITY_LEVELS = 4, /* distinct levels; any lower priority is treated as the last level */
	/* Added per level to the time by which jobs are ordered: of two equally urgent jobs, the
	 * one a level higher is ahead by this much. */
	PRIORITY_OFFSET_US = 60000,
	US_PER_MS = 1000,
	US_PER_SECOND = 1000000,
	/* Size of the name of a class, team, zone, host or server, including the terminating NUL.
	 */
	NAME_BYTES = 64,
};

#endif
