#include "isolation.h"

void isolation_begin(struct isolation *isolation, int64_t now_us)
{
	isolation->isolated = true;
	isolation->since_us = now_us;
}

enum isolation_change isolation_update(struct isolation *isolation, int64_t last_input_us,
				       int64_t last_silent_us, int64_t now_us)
{
	bool quiet = isolation->quiet;

	if ((isolation->isolated || quiet) && last_input_us >= isolation->since_us) {
		isolation->isolated = isolation->quiet = false;
		return quiet ? QUIET_ENDS : ISOLATION_ENDS;
	}
	if (isolation->isolated || now_us - last_input_us <= isolation->timeout_us)
		return ISOLATION_UNCHANGED;
	if (last_silent_us > last_input_us) {
		isolation->quiet = false;
		isolation_begin(isolation, now_us);
		return ISOLATION_BEGINS;
	}
	if (quiet)
		return ISOLATION_UNCHANGED;
	isolation->quiet = true;
	isolation->since_us = now_us;
	return QUIET_BEGINS;
}
