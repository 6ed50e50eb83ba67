/* Pseudo-random numbers for scheduling decisions. The state starts from a seed, so that tests are
 * reproducible. */
#ifndef GG_DRAW_H
#define GG_DRAW_H

#include <stdint.h>

/* Advances STATE by one step of Knuth's MMIX linear congruential generator and returns the new
 * state. */
static inline uint64_t draw_next(uint64_t *state)
{
	*state = *state * 6364136223846793005ULL + 1442695040888963407ULL;
	return *state;
}

/* Returns a uniformly distributed number in (0, 1]. */
static inline double draw_uniform(uint64_t *state)
{
	return ((double)(draw_next(state) >> 11) + 1) / (double)(1ULL << 53);
}

#endif
