#include "config_pull.h"

#include "core_defs.h"

enum {
	/* The store usually brings a version to all entries within 100 ms. */
	LAG_US = 300 * US_PER_MS,
	/* A document of a megabyte takes as long on a link of 20 Mbit/s. */
	ANSWER_US = 400 * US_PER_MS
};

bool config_pull_due(struct config_pull *pull, uint64_t own, uint64_t highest, int64_t now_us)
{
	int64_t lag_us = own == 0 ? 0 : LAG_US;

	if (own >= highest) {
		pull->behind_since_us = 0;
		return false;
	}
	if (pull->behind_since_us == 0)
		pull->behind_since_us = now_us;
	if (now_us - pull->behind_since_us < lag_us)
		return false;
	if (pull->asked_us != 0 && now_us - pull->asked_us < ANSWER_US)
		return false;
	pull->asked_us = now_us;
	return true;
}
