/* Tables of fixed-size rows identified by handles. A row stays at the same memory address until it
 * is removed. */
#ifndef GG_TABLE_H
#define GG_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Index and generation of a row. No row has generation 0, so a zeroed handle refers to no row. */
struct handle {
	uint32_t index;
	uint32_t generation;
};

struct table {
	size_t row_bytes;
	size_t chunk_count;
	char **chunks;
	uint32_t *generations;	/* odd while the row is in use */
	uint32_t *free_indexes; /* stack of free_count indexes of removed rows, reused first */
	uint32_t free_count;
	uint32_t used_indexes; /* indexes from 0 up that have been assigned at least once */
	uint32_t row_count;    /* rows in use */
};

/* Initializes TABLE as empty, with rows of ROW_BYTES bytes. */
void table_init(struct table *table, size_t row_bytes);

/* Removes all rows and frees their memory, but not memory that a row points to. */
void table_free(struct table *table);

/* Adds a zeroed row, stores its handle in HANDLE and returns the row. Aborts the process if memory
 * runs out. */
void *table_add(struct table *table, struct handle *handle);

/* Returns the row of HANDLE, or NULL if it was removed or never existed. */
void *table_get(const struct table *table, struct handle handle);

/* Removes the row of HANDLE. Returns false if there is none. */
bool table_remove(struct table *table, struct handle handle);

/*
 * Returns the first row whose index is at least *CURSOR and sets *CURSOR to the index after it, or
 * returns NULL at the end. Start with a cursor of 0. HANDLE, which may be NULL, receives the handle
 * of the row. Rows may be added and removed during the iteration; a row added at an index
 * below *CURSOR is not visited.
 */
void *table_next(const struct table *table, uint32_t *cursor, struct handle *handle);

/* Returns the number of rows in use. */
uint32_t table_count(const struct table *table);

/* Convert a handle to a single number and back, for messages and hash tables. */
static inline uint64_t handle_pack(struct handle handle)
{
	return ((uint64_t)handle.generation << 32) | handle.index;
}

static inline struct handle handle_unpack(uint64_t number)
{
	return (struct handle){.index = (uint32_t)number, .generation = (uint32_t)(number >> 32)};
}

/* Returns whether both handles have the same index and generation. */
static inline bool handle_equal(struct handle a, struct handle b)
{
	return a.index == b.index && a.generation == b.generation;
}

/* Returns whether HANDLE has generation 0 and so refers to no row. */
static inline bool handle_is_none(struct handle handle)
{
	return handle.generation == 0;
}

#endif
