/* Counters, gauges and log-linear histograms, written as Prometheus text. Updates are wait-free
 * from any thread. */
#ifndef GG_COUNTER_H
#define GG_COUNTER_H

#include <glib.h>
#include <stdatomic.h>
#include <stdint.h>

enum counter_kind {
	COUNTER_TOTAL,
	COUNTER_GAUGE,
};

/* A counter or gauge. Declared static by the module that owns it and registered once. */
struct counter {
	const char *name; /* as in Prometheus, without the prefix "greengage_" */
	const char *help;
	enum counter_kind kind;
	_Atomic int64_t value;
	struct counter *next;
};

/*
 * Log-linear histogram: 2^HISTOGRAM_SUB_BUCKET_BITS linear buckets for each power of two, so a
 * quantile is off by at most 1/2^HISTOGRAM_SUB_BUCKET_BITS of its value.
 */
enum {
	HISTOGRAM_SUB_BUCKET_BITS = 4,
	HISTOGRAM_BUCKETS = (64 - HISTOGRAM_SUB_BUCKET_BITS + 1) << HISTOGRAM_SUB_BUCKET_BITS
};

struct histogram {
	const char *name;
	const char *help;
	_Atomic uint64_t buckets[HISTOGRAM_BUCKETS];
	_Atomic uint64_t sum;
	struct histogram *next;
};

/* Adds the metric to those that counter_render writes. Call once a metric, from any thread. */
void counter_register(struct counter *counter);
void histogram_register(struct histogram *histogram);

/* Adds AMOUNT. */
static inline void counter_add(struct counter *counter, int64_t amount)
{
	atomic_fetch_add_explicit(&counter->value, amount, memory_order_relaxed);
}

/* Sets a gauge to VALUE. */
static inline void counter_set(struct counter *counter, int64_t value)
{
	atomic_store_explicit(&counter->value, value, memory_order_relaxed);
}

/* Returns the current value. */
static inline int64_t counter_get(struct counter *counter)
{
	return atomic_load_explicit(&counter->value, memory_order_relaxed);
}

/* Records VALUE, in the unit that the histogram's name states. */
void histogram_record(struct histogram *histogram, uint64_t value);

/* Returns the upper bound of the bucket that holds quantile Q (0 to 1), or 0 when nothing was
 * recorded. */
uint64_t histogram_quantile(struct histogram *histogram, double q);

/* Returns the number of recorded values and the sum of them. */
uint64_t histogram_count(struct histogram *histogram);
uint64_t histogram_sum(struct histogram *histogram);

/* Appends every registered metric to OUT in the Prometheus text format; histograms as summaries. */
void counter_render(GString *out);

#endif
