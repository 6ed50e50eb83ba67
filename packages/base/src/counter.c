#include "counter.h"

enum {
	SUB_BUCKETS = 1 << HISTOGRAM_SUB_BUCKET_BITS
};

static GMutex registry_lock;
static struct counter *counters;
static struct histogram *histograms;

void counter_register(struct counter *counter)
{
	g_mutex_lock(&registry_lock);
	counter->next = counters;
	counters = counter;
	g_mutex_unlock(&registry_lock);
}

void histogram_register(struct histogram *histogram)
{
	g_mutex_lock(&registry_lock);
	histogram->next = histograms;
	histograms = histogram;
	g_mutex_unlock(&registry_lock);
}

static unsigned bucket_index(uint64_t value)
{
	unsigned shift;

	if (value < SUB_BUCKETS)
		return (unsigned)value;
	shift = 63 - (unsigned)__builtin_clzll(value) - HISTOGRAM_SUB_BUCKET_BITS;
	return ((shift + 1) << HISTOGRAM_SUB_BUCKET_BITS) +
	       (unsigned)((value >> shift) - SUB_BUCKETS);
}

static uint64_t bucket_upper_bound(unsigned bucket)
{
	unsigned shift;
	uint64_t lower;

	if (bucket < SUB_BUCKETS)
		return bucket;
	shift = (bucket >> HISTOGRAM_SUB_BUCKET_BITS) - 1;
	lower = (uint64_t)((bucket & (SUB_BUCKETS - 1)) + SUB_BUCKETS) << shift;
	return lower + ((uint64_t)1 << shift) - 1;
}

void histogram_record(struct histogram *histogram, uint64_t value)
{
	atomic_fetch_add_explicit(&histogram->buckets[bucket_index(value)], 1,
				  memory_order_relaxed);
	atomic_fetch_add_explicit(&histogram->sum, value, memory_order_relaxed);
}

uint64_t histogram_count(struct histogram *histogram)
{
	uint64_t total = 0;

	for (unsigned i = 0; i < HISTOGRAM_BUCKETS; i++)
		total += atomic_load_explicit(&histogram->buckets[i], memory_order_relaxed);
	return total;
}

uint64_t histogram_sum(struct histogram *histogram)
{
	return atomic_load_explicit(&histogram->sum, memory_order_relaxed);
}

uint64_t histogram_quantile(struct histogram *histogram, double q)
{
	uint64_t total = histogram_count(histogram);
	uint64_t rank = (uint64_t)(q * (double)total);
	uint64_t cumulative_count = 0;

	if (total == 0)
		return 0;
	if (rank >= total)
		rank = total - 1;
	for (unsigned i = 0; i < HISTOGRAM_BUCKETS; i++) {
		cumulative_count +=
			atomic_load_explicit(&histogram->buckets[i], memory_order_relaxed);
		if (cumulative_count > rank)
			return bucket_upper_bound(i);
	}
	return bucket_upper_bound(HISTOGRAM_BUCKETS - 1);
}

static void render_histogram(GString *out, struct histogram *histogram)
{
	static const double quantiles[] = {0.5, 0.9, 0.99};

	g_string_append_printf(out, "# HELP greengage_%s %s\n# TYPE greengage_%s summary\n",
			       histogram->name, histogram->help, histogram->name);
	for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++)
		g_string_append_printf(out, "greengage_%s{quantile=\"%g\"} %" G_GUINT64_FORMAT "\n",
				       histogram->name, quantiles[i],
				       histogram_quantile(histogram, quantiles[i]));
	g_string_append_printf(out, "greengage_%s_sum %" G_GUINT64_FORMAT "\n", histogram->name,
			       histogram_sum(histogram));
	g_string_append_printf(out, "greengage_%s_count %" G_GUINT64_FORMAT "\n", histogram->name,
			       histogram_count(histogram));
}

void metrics_render(GString *out)
{
	g_mutex_lock(&registry_lock);
	for (struct counter *c = counters; c; c = c->next)
		g_string_append_printf(out,
				       "# HELP greengage_%s %s\n# TYPE greengage_%s "
				       "%s\ngreengage_%s %" G_GINT64_FORMAT "\n",
				       c->name, c->help, c->name,
				       c->kind == COUNTER_TOTAL ? "counter" : "gauge", c->name,
				       counter_get(c));
	for (struct histogram *h = histograms; h; h = h->next)
		render_histogram(out, h);
	g_mutex_unlock(&registry_lock);
}
