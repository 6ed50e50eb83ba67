/* Random draws of the decision logic, from a seed so that tests repeat. */
#ifndef GG_DRAW_H
#define GG_DRAW_H

#include <stdint.h>

/* Moves SEED on (Knuth's MMIX generator) and returns its new state. */
static inline uint64_t draw_next(uint64_t *seed)
{
	*seed = *seed * 6364136223846793005ULL + 1442695040888963407ULL;
	return *seed;
}

/* Returns a number from 0 to 1, without 0. */
static inline double draw_uniform(uint64_t *seed)
{
	return ((double)(draw_next(seed) >> 11) + 1) / (double)(1ULL << 53);
}

#endif
