/* Random draws of the decision logic, from a seed so that tests repeat. */
#ifndef GG_DRAW_H
#define GG_DRAW_H

#include <stdint.h>

/* Moves STATE on (Knuth's MMIX generator) and returns its new state. */
static inline uint64_t draw_next(uint64_t *state)
{
	*state = *state * 6364136223846793005ULL + 1442695040888963407ULL;
	return *state;
}

/* Returns a number from 0 to 1, without 0. */
static inline double draw_uniform(uint64_t *state)
{
	return ((double)(draw_next(state) >> 11) + 1) / (double)(1ULL << 53);
}

#endif
