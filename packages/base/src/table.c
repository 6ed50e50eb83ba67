#include "table.h"

#include <glib.h>
#include <string.h>

enum {
	CHUNK_ROWS = 64
};

static void *row_address(const struct table *table, uint32_t index)
{
	return table->chunks[index / CHUNK_ROWS] + (size_t)(index % CHUNK_ROWS) * table->row_bytes;
}

static void add_chunk(struct table *table)
{
	size_t rows = (table->chunk_count + 1) * CHUNK_ROWS;

	table->chunks = g_renew(char *, table->chunks, table->chunk_count + 1);
	table->chunks[table->chunk_count] = g_malloc0(CHUNK_ROWS * table->row_bytes);
	table->generations = g_renew(uint32_t, table->generations, rows);
	table->free_indexes = g_renew(uint32_t, table->free_indexes, rows);
	memset(table->generations + rows - CHUNK_ROWS, 0, CHUNK_ROWS * sizeof(uint32_t));
	table->chunk_count++;
}

void table_init(struct table *table, size_t row_bytes)
{
	*table = (struct table){.row_bytes = row_bytes};
}

void table_free(struct table *table)
{
	for (size_t i = 0; i < table->chunk_count; i++)
		g_free(table->chunks[i]);
	g_free(table->chunks);
	g_free(table->generations);
	g_free(table->free_indexes);
	*table = (struct table){.row_bytes = table->row_bytes};
}

void *table_add(struct table *table, struct handle *handle)
{
	uint32_t index;
	void *row;

	if (table->free_count > 0) {
		index = table->free_indexes[--table->free_count];
	} else {
		if (table->used_indexes == table->chunk_count * CHUNK_ROWS)
			add_chunk(table);
		index = table->used_indexes++;
	}
	table->generations[index]++;
	table->row_count++;
	row = row_address(table, index);
	memset(row, 0, table->row_bytes);
	*handle = (struct handle){.index = index, .generation = table->generations[index]};
	return row;
}

void *table_get(const struct table *table, struct handle handle)
{
	if (handle.generation % 2 == 0 || handle.index >= table->used_indexes)
		return NULL;
	if (table->generations[handle.index] != handle.generation)
		return NULL;
	return row_address(table, handle.index);
}

bool table_remove(struct table *table, struct handle handle)
{
	if (!table_get(table, handle))
		return false;
	table->generations[handle.index]++;
	table->free_indexes[table->free_count++] = handle.index;
	table->row_count--;
	return true;
}

void *table_next(const struct table *table, uint32_t *cursor, struct handle *handle)
{
	for (uint32_t i = *cursor; i < table->used_indexes; i++) {
		if (table->generations[i] % 2 == 0)
			continue;
		*cursor = i + 1;
		if (handle)
			*handle = (struct handle){.index = i, .generation = table->generations[i]};
		return row_address(table, i);
	}
	*cursor = table->used_indexes;
	return NULL;
}

uint32_t table_count(const struct table *table)
{
	return table->row_count;
}
