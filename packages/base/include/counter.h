/* Counters, gauges and log-linear histograms, written as Prometheus text. Updates are wait-free and
 * may be made from any thread. */
#ifndef GG_COUNTER_H
#define GG_COUNTER_H

#include <glib.h>
#include <stdatomic.h>
#include <stdint.h>

enum counter_kind {
	COUNTER_TOTAL, /* only increases */
	COUNTER_GAUGE, /* may rise and fall */
};

/* A counter or gauge, owned by one module and registered once. It must have static storage duration
 * because the registry keeps a pointer to it. */
struct counter {
	const char *name; /* Prometheus name without the prefix "greengage_" */
	const char *help;
	enum counter_kind kind;
	_Atomic int64_t value;
	struct counter *next;
};

/*
 * Log-linear histogram: 2^HISTOGRAM_SUB_BUCKET_BITS linear buckets for each power of two, which
 * limits the relative error of a quantile to 1/2^HISTOGRAM_SUB_BUCKET_BITS.
 */
enum {
	HISTOGRAM_SUB_BUCKET_BITS = 4,
	HISTOGRAM_BUCKETS = (64 - HISTOGRAM_SUB_BUCKET_BITS + 1) << HISTOGRAM_SUB_BUCKET_BITS
};

struct histogram {
	const char *name; /* as in struct counter; ends in the unit of the values, such as _us */
	const char *help;
	_Atomic uint64_t buckets[HISTOGRAM_BUCKETS];
	_Atomic uint64_t sum;
	struct histogram *next;
};

/* Add the metric to the output of metrics_render. Call once per metric, from any thread. */
void counter_register(struct counter *counter);
void histogram_register(struct histogram *histogram);

/* Adds AMOUNT, which for a gauge may be negative. */
static inline void counter_add(struct counter *counter, int64_t amount)
{
	atomic_fetch_add_explicit(&counter->value, amount, memory_order_relaxed);
}

static inline void counter_set(struct counter *counter, int64_t value)
{
	atomic_store_explicit(&counter->value, value, memory_order_relaxed);
}

static inline int64_t counter_get(struct counter *counter)
{
	return atomic_load_explicit(&counter->value, memory_order_relaxed);
}

/* Records VALUE, in the unit of the histogram. */
void histogram_record(struct histogram *histogram, uint64_t value);

/* Returns the upper bound of the bucket that contains the quantile Q (0 to 1), or 0 if no value was
 * recorded. */
uint64_t histogram_quantile(struct histogram *histogram, double q);

/* Return the number of recorded values and their sum. */
uint64_t histogram_count(struct histogram *histogram);
uint64_t histogram_sum(struct histogram *histogram);

/* Appends every registered metric to OUT in the Prometheus text format. Histograms are written as
 * summaries. */
void metrics_render(GString *out);

#endif
