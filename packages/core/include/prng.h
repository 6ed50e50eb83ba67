/* Pseudo-random numbers for scheduling decisions. The state starts from a seed, so that tests are
 * reproducible. */
#ifndef GG_PRNG_H
#define GG_PRNG_H

#include <stdint.h>

/* Advances STATE by one step of Knuth's MMIX linear congruential generator and returns the new
 * state. */
static inline uint64_t prng_next(uint64_t *state)
{
	*state = *state * 6364136223846793005ULL + 1442695040888963407ULL;
	return *state;
}

/* Returns a uniformly distributed number in (0, 1]. */
static inline double prng_uniform(uint64_t *state)
{
	return ((double)(prng_next(state) >> 11) + 1) / (double)(1ULL << 53);
}

#endif
