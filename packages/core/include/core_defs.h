/* Types and units shared by the modules of the decision logic. */
#ifndef GG_CORE_DEFS_H
#define GG_CORE_DEFS_H

#include <stdint.h>

enum {
	PRIORITIES = 4,		  /* levels told apart; lower ones count as the last */
	PRIORITY_LEAD_US = 60000, /* of a job over one that is a level lower and equally urgent */
	US_PER_MS = 1000,
	US_PER_SECOND = 1000000,
	NAME_BYTES = 64, /* longest name of a class, team, zone, host or server, with its
			    terminating zero */
};

#endif
