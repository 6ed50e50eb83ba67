#include "message_age.h"

enum {
	/* By which two clocks may drift apart: one that is 2 % slow, and a margin. */
	DRIFT_PERMILLE = 25,
	PERMILLE = 1000,
	/* When no message was as fast for this long, the path or a clock has changed for good. An
	 * agent gives up a silent entry sooner. */
	MEMORY_US = 2000000,
	US_PER_MS = 1000
};

static const uint64_t max_sent_ms = (uint64_t)(INT64_MAX / 4 / US_PER_MS);

static void set_shortest(struct message_age *age, int64_t shortest_us, int64_t now_us)
{
	*age = (struct message_age){.known = true, .shortest_us = shortest_us, .seen_us = now_us};
}

int64_t message_age_update(struct message_age *age, const struct message_times *times)
{
	int64_t difference_us = times->received_us - times->sent_us;
	int64_t since_us = times->received_us - age->seen_us;
	int64_t lowest_us = times->earliest_us - times->sent_us;
	int64_t shortest_us = age->shortest_us + since_us * DRIFT_PERMILLE / PERMILLE;

	if (times->sent_us == 0)
		return 0;
	if (!age->known || since_us > MEMORY_US || difference_us <= shortest_us) {
		set_shortest(age, difference_us, times->received_us);
		return 0;
	}
	/* The sender's clock has been set back. */
	if (shortest_us < lowest_us) {
		set_shortest(age, lowest_us, times->received_us);
		shortest_us = lowest_us;
	}
	return difference_us - shortest_us;
}

int64_t message_sent_us(uint64_t sent_ms)
{
	return sent_ms <= max_sent_ms ? (int64_t)sent_ms * US_PER_MS : 0;
}
