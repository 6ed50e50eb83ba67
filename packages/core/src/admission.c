#include "admission.h"

#include <glib.h>

enum {
	RETRY_MIN_S = 1,
	RETRY_MAX_S = 30,
	RETRY_SPREAD_S = 3 /* retries of clients refused together are spread over this time */
};

static const double capacity_min = 0.001; /* cores; avoids a division by zero */

/* A new job is expected to wait about as long again as the oldest one has waited by now. */
static const double max_oldest_wait_share = 0.5;

int64_t admission_wait_us(const struct admission_load *load)
{
	return (int64_t)MIN(load->ahead_core_us / MAX(load->capacity, capacity_min),
			    (double)RETRY_MAX_S * US_PER_SECOND);
}

bool admission_must_shed(double oldest_wait_share)
{
	return oldest_wait_share > max_oldest_wait_share;
}

uint32_t admission_retry_after_s(const struct admission_load *load, uint64_t seed)
{
	int64_t drain_us = admission_wait_us(load);
	int64_t base_s = (drain_us + US_PER_SECOND - 1) / US_PER_SECOND;
	int64_t spread_s = (int64_t)(seed % RETRY_SPREAD_S);

	return (uint32_t)CLAMP(base_s + spread_s, RETRY_MIN_S, RETRY_MAX_S);
}
