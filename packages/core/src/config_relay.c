#include "config_relay.h"

#include "core_defs.h"

enum {
	/* Intervals as percentages of the time limit: after an answer, and after a request that the
	 * store has not answered yet, whose agent it may refuse as well. */
	ANSWERED_INTERVAL_PERCENT = 50,
	UNANSWERED_INTERVAL_PERCENT = 15,
	PERCENT = 100,
	/* After this many requests in a row without an answer the store is taken to be down for all
	 * hosts, and the longer interval is used. */
	MAX_UNANSWERED = 4
};

static int64_t interval_us(const struct config_relay *relay)
{
	bool is_retry = relay->unanswered > 0 && relay->unanswered < MAX_UNANSWERED;

	return relay->apply_limit_us *
	       (is_retry ? UNANSWERED_INTERVAL_PERCENT : ANSWERED_INTERVAL_PERCENT) / PERCENT;
}

bool config_relay_due(struct config_relay *relay, int64_t now_us)
{
	if (now_us < relay->next_request_us)
		return false;
	relay->unanswered++;
	relay->next_request_us = now_us + interval_us(relay);
	return true;
}

void config_relay_answered(struct config_relay *relay, int64_t now_us)
{
	relay->unanswered = 0;
	relay->next_request_us = now_us + interval_us(relay);
}
