#include "isolation.h"

void isolation_begin(struct isolation *isolation, int64_t now_us)
{
	isolation->isolated = true;
	isolation->since_us = now_us;
}

enum isolation_change isolation_update(struct isolation *isolation, int64_t last_input_us,
				       int64_t last_silent_us, int64_t now_us)
{
	if (isolation->isolated && last_input_us >= isolation->since_us) {
		isolation->isolated = false;
		return ISOLATION_ENDS;
	}
	if (isolation->isolated || last_silent_us <= last_input_us ||
	    now_us - last_input_us <= isolation->timeout_us)
		return ISOLATION_UNCHANGED;
	isolation_begin(isolation, now_us);
	return ISOLATION_BEGINS;
}
