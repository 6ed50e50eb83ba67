/* Support for randomized tests that compare a module with a model. Generates sequences of steps
 * from a fixed seed and shrinks a failing sequence to a short trace. */
#ifndef GG_TEST_SEQUENCE_H
#define GG_TEST_SEQUENCE_H

#include <glib.h>
#include <stdint.h>
#include <string.h>

enum {
	SEQUENCE_MAX_STEPS = 128
};

/* One step of a sequence: a kind and three random arguments. A step that does not apply to the
 * current state has no effect, so a sequence stays valid when steps are removed from it. */
struct sequence_step {
	uint8_t kind;
	uint8_t a;
	uint8_t b;
	uint8_t c;
};

struct sequence_kind {
	const char *name;
	uint8_t weight;
};

struct sequence_test {
	const struct sequence_kind *kinds;
	size_t kind_count;
	/* Runs the steps and returns a description of the failure, or NULL. SEQUENCE_SEED is the
	 * same when a shortened sequence is run, so that the initial state does not change. */
	const char *(*run_steps)(const struct sequence_step *steps, size_t count,
				 uint64_t sequence_seed);
};

static inline uint64_t sequence_random(uint64_t *state)
{
	uint64_t z = (*state += 0x9e3779b97f4a7c15u);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
	return z ^ (z >> 31);
}

static inline uint8_t sequence_pick_kind(const struct sequence_test *test, uint64_t random)
{
	uint32_t total = 0;
	uint32_t remaining;

	for (size_t i = 0; i < test->kind_count; i++)
		total += test->kinds[i].weight;
	remaining = (uint32_t)(random % total);
	for (uint8_t i = 0;; i++) {
		if (remaining < test->kinds[i].weight)
			return i;
		remaining -= test->kinds[i].weight;
	}
}

/* Removes each range of steps without which the sequence still fails, trying halves first and then
 * ever shorter ranges. Returns the number of remaining steps. */
static inline size_t sequence_shrink(const struct sequence_test *test, struct sequence_step *steps,
				     size_t count, uint64_t sequence_seed)
{
	struct sequence_step candidate[SEQUENCE_MAX_STEPS];

	for (size_t length = MAX(count / 2, 1); length > 0; length /= 2) {
		for (size_t start = 0; start + length <= count;) {
			memcpy(candidate, steps, start * sizeof(*steps));
			memcpy(candidate + start, steps + start + length,
			       (count - start - length) * sizeof(*steps));
			if (!test->run_steps(candidate, count - length, sequence_seed)) {
				start += length;
				continue;
			}
			count -= length;
			memcpy(steps, candidate, count * sizeof(*steps));
		}
	}
	return count;
}

/* Runs SEQUENCE_COUNT random sequences. Shrinks and prints the first one that fails, then aborts
 * the test program. */
static inline void sequence_check(const struct sequence_test *test, uint64_t seed,
				  uint32_t sequence_count)
{
	uint64_t state = seed;

	g_test_message("seed %" G_GUINT64_FORMAT ", %u sequences", seed, sequence_count);
	for (uint32_t sequence = 0; sequence < sequence_count; sequence++) {
		uint64_t sequence_seed = sequence_random(&state);
		size_t count = 1 + sequence_seed % SEQUENCE_MAX_STEPS;
		struct sequence_step steps[SEQUENCE_MAX_STEPS];
		const char *failure;

		for (size_t i = 0; i < count; i++) {
			uint64_t random = sequence_random(&state);

			steps[i] = (struct sequence_step){sequence_pick_kind(test, random >> 32),
							  random & 0xff, random >> 8 & 0xff,
							  random >> 16 & 0xff};
		}
		if (!test->run_steps(steps, count, sequence_seed))
			continue;
		count = sequence_shrink(test, steps, count, sequence_seed);
		failure = test->run_steps(steps, count, sequence_seed);
		g_printerr("sequence %u of seed %" G_GUINT64_FORMAT ": %s\n", sequence, seed,
			   failure);
		for (size_t i = 0; i < count; i++)
			g_printerr("  %s %u %u %u\n", test->kinds[steps[i].kind].name, steps[i].a,
				   steps[i].b, steps[i].c);
		g_error("%s", failure);
	}
}

#endif
