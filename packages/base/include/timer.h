/* Timer service: parts subscribe a callback to a time or a period; the owner of the service runs
 * what is due. */
#ifndef GG_TIMER_H
#define GG_TIMER_H

#include <stdbool.h>
#include <stdint.h>

#include "table.h"

/* Called when a subscription is due. NOW_US is the time given to timer_run. */
typedef void (*timer_callback)(void *context, int64_t now_us);

struct timer_service {
	struct table subscriptions;
	struct handle *heap; /* ordered by due time */
	uint32_t heap_count;
	uint32_t heap_capacity;
};

/* Returns the monotonic clock in microseconds. Decision logic takes the time as an argument
 * instead. */
int64_t timer_clock_us(void);

/* Returns the wall clock in milliseconds since 1970. */
int64_t timer_wall_ms(void);

void timer_init(struct timer_service *service);
void timer_free(struct timer_service *service);

/*
 * Subscribes CALLBACK with CONTEXT to the time DUE_US; with PERIOD_US above 0 it is then called
 * once a period. Returns the handle for timer_cancel.
 */
struct handle timer_subscribe(struct timer_service *service, int64_t due_us, int64_t period_us,
			      timer_callback callback, void *context);

/* Ends a subscription. A handle that is no longer known is ignored. */
void timer_cancel(struct timer_service *service, struct handle handle);

/* Calls every subscription due at NOW_US, earliest first. A period that was missed several times is
 * called once. */
void timer_run(struct timer_service *service, int64_t now_us);

/* Returns the time of the next due subscription in microseconds, or INT64_MAX when there is none.
 */
int64_t timer_next_us(const struct timer_service *service);

#endif
