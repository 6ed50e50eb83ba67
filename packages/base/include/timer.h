/* Timer service: modules register callbacks to be called at a time or periodically, and the owner
 * of the service calls timer_run to run those that are due. */
#ifndef GG_TIMER_H
#define GG_TIMER_H

#include <stdbool.h>
#include <stdint.h>

#include "table.h"

/* Called when a subscription is due. NOW_US is the time passed to timer_run. */
typedef void (*timer_callback)(void *context, int64_t now_us);

struct timer_service {
	struct table subscriptions;
	struct handle *heap; /* binary min-heap of subscriptions by due time */
	uint32_t heap_count;
	uint32_t heap_capacity;
};

/* Returns the monotonic clock in microseconds. Code that makes scheduling decisions takes the time
 * as an argument instead. */
int64_t timer_clock_us(void);

/* Returns the wall clock in milliseconds since the Unix epoch. */
int64_t timer_wall_ms(void);

void timer_init(struct timer_service *service);
void timer_free(struct timer_service *service);

/*
 * Registers a call of CALLBACK with CONTEXT at the monotonic time DUE_US. If PERIOD_US is above 0,
 * repeats the call every PERIOD_US until timer_cancel. Returns the handle for timer_cancel.
 */
struct handle timer_subscribe(struct timer_service *service, int64_t due_us, int64_t period_us,
			      timer_callback callback, void *context);

/* Ends a subscription. The handle of a subscription that has ended is ignored. */
void timer_cancel(struct timer_service *service, struct handle handle);

/* Calls the callback of every subscription due at NOW_US, earliest first. A periodic callback that
 * missed one or more periods is called once, and is next due one period after NOW_US. */
void timer_run(struct timer_service *service, int64_t now_us);

/* Returns the earliest due time in microseconds, or INT64_MAX if there is no subscription. */
int64_t timer_next_us(const struct timer_service *service);

#endif
