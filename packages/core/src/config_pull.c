#include "config_pull.h"

#include "core_defs.h"

enum {
	/* Waiting times as percentages of the time limit: first for the store, then for the answer
	 * to a request. The store usually delivers a version to all entries within 100 ms, and a
	 * document of one megabyte takes 400 ms on a link of 20 Mbit/s. */
	STORE_WAIT_PERCENT = 15,
	ANSWER_WAIT_PERCENT = 20,
	PERCENT = 100
};

bool config_pull_due(struct config_pull *pull, uint64_t own_version, uint64_t highest_version,
		     int64_t now_us)
{
	int64_t store_wait_us =
		own_version == 0 ? 0 : pull->apply_limit_us * STORE_WAIT_PERCENT / PERCENT;

	if (own_version >= highest_version) {
		pull->behind_since_us = 0;
		return false;
	}
	if (pull->behind_since_us == 0)
		pull->behind_since_us = now_us;
	if (now_us - pull->behind_since_us < store_wait_us)
		return false;
	if (pull->last_request_us != 0 &&
	    now_us - pull->last_request_us < pull->apply_limit_us * ANSWER_WAIT_PERCENT / PERCENT)
		return false;
	pull->last_request_us = now_us;
	return true;
}
