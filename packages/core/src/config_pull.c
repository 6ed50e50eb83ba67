#include "config_pull.h"

#include "core_defs.h"

enum {
	/* Shares of the bound. The store usually brings a version to all entries within 100 ms, and
	 * a document of a megabyte takes 400 ms on a link of 20 Mbit/s. */
	LAG_PERCENT = 15,
	ANSWER_PERCENT = 20,
	PERCENT = 100
};

bool config_pull_due(struct config_pull *pull, uint64_t own, uint64_t highest, int64_t now_us)
{
	int64_t lag_us = own == 0 ? 0 : pull->apply_limit_us * LAG_PERCENT / PERCENT;

	if (own >= highest) {
		pull->behind_since_us = 0;
		return false;
	}
	if (pull->behind_since_us == 0)
		pull->behind_since_us = now_us;
	if (now_us - pull->behind_since_us < lag_us)
		return false;
	if (pull->asked_us != 0 &&
	    now_us - pull->asked_us < pull->apply_limit_us * ANSWER_PERCENT / PERCENT)
		return false;
	pull->asked_us = now_us;
	return true;
}
