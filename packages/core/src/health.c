#include "health.h"

#include <glib.h>

void health_init(struct health *health, const struct health_limits *limits)
{
	*health = (struct health){.limits = *limits,
				  .state = HEALTH_SLOW_START,
				  .start_limit = 1,
				  .backoff_us = limits->first_backoff_us};
}

/* Begins a quarantine and doubles the length of the next one, up to the limit. */
static void begin_quarantine(struct health *health, int64_t now_us)
{
	health->state = HEALTH_QUARANTINED;
	health->quarantine_end_us = now_us + health->backoff_us;
	health->backoff_us = MIN(health->backoff_us * 2, health->limits.longest_backoff_us);
	health->start_limit = 1;
	health->failure_streak = 0;
}

static void record_failure(struct health *health, int64_t now_us)
{
	health->failure_streak++;
	if (health->state == HEALTH_TRIAL || health->failure_streak >= health->limits.fail_streak)
		begin_quarantine(health, now_us);
}

static void record_success(struct health *health, uint32_t slots)
{
	health->failure_streak = 0;
	if (health->state == HEALTH_HEALTHY)
		return;
	health->state = HEALTH_SLOW_START;
	health->start_limit = MIN(health->start_limit, UINT32_MAX / 2) * 2;
	if (slots == 0 || health->start_limit < slots)
		return;
	health->state = HEALTH_HEALTHY;
	/* Resetting the backoff before slow start ends would let a server that succeeds only with
	 * single starts be retried every second. */
	health->backoff_us = health->limits.first_backoff_us;
}

void health_record_result(struct health *health, bool success, uint32_t slots, int64_t now_us)
{
	/* The task was started before the quarantine, so its result says nothing about the
	 * server's present state. */
	if (health->state == HEALTH_QUARANTINED)
		return;
	if (success)
		record_success(health, slots);
	else
		record_failure(health, now_us);
}

bool health_tick(struct health *health, int64_t now_us)
{
	if (health->state != HEALTH_QUARANTINED || now_us < health->quarantine_end_us)
		return false;
	health->state = HEALTH_TRIAL;
	return true;
}

uint32_t health_start_limit(const struct health *health, uint32_t slots)
{
	switch (health->state) {
	case HEALTH_HEALTHY:
		return slots;
	case HEALTH_QUARANTINED:
		return 0;
	case HEALTH_SLOW_START:
	case HEALTH_TRIAL:
		break;
	}
	return MIN(health->start_limit, slots);
}

int64_t health_next_tick_us(const struct health *health)
{
	return health->state == HEALTH_QUARANTINED ? health->quarantine_end_us : INT64_MAX;
}
