#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

struct ctl_table {
	GPtrArray *rows; /* char ** of cells; the first row contains the titles */
};

void ctl_print_error(const struct error *err)
{
	fprintf(stderr, "greengagectl: %s, outcome %s: %s\n", status_name(err->status),
		outcome_name(err->outcome), err->message);
}

void ctl_print_response_error(const struct ctl_response *response)
{
	const json_t *error = json_object_get(response->body, "error");

	if (!json_is_object(error)) {
		fprintf(stderr, "greengagectl: response with HTTP status %ld has no error object\n",
			response->http_code);
		return;
	}
	fprintf(stderr, "greengagectl: %s, outcome %s: %s\n", ctl_json_string(error, "type"),
		ctl_json_string(error, "outcome"), ctl_json_string(error, "message"));
}

void ctl_print_json(const struct ctl_options *options, const json_t *value)
{
	size_t flags = JSON_ENCODE_ANY | (options->json ? JSON_COMPACT : JSON_INDENT(2));

	json_dumpf(value, stdout, flags);
	putchar('\n');
}

json_t *ctl_read_json(const char *file)
{
	bool is_stdin = strcmp(file, "-") == 0;
	json_error_t error;
	json_t *value;

	if (is_stdin)
		value = json_loadf(stdin, JSON_REJECT_DUPLICATES, &error);
	else
		value = json_load_file(file, JSON_REJECT_DUPLICATES, &error);
	if (!value)
		fprintf(stderr, "greengagectl: %s: line %d: %s\n",
			is_stdin ? "standard input" : file, error.line, error.text);
	return value;
}

const char *ctl_json_string(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text && *text ? text : "-";
}

long long ctl_json_integer(const json_t *object, const char *key)
{
	return (long long)json_integer_value(json_object_get(object, key));
}

struct ctl_table *ctl_table_new(const char *titles)
{
	struct ctl_table *table = g_new0(struct ctl_table, 1);

	table->rows = g_ptr_array_new_with_free_func((GDestroyNotify)g_strfreev);
	g_ptr_array_add(table->rows, g_strsplit(titles, "\t", -1));
	return table;
}

void ctl_table_add_row(struct ctl_table *table, const char *format, ...)
{
	va_list args;
	char *line;

	va_start(args, format);
	line = g_strdup_vprintf(format, args);
	va_end(args);
	g_ptr_array_add(table->rows, g_strsplit(line, "\t", -1));
	g_free(line);
}

static glong column_width(const struct ctl_table *table, guint column)
{
	glong width = 0;

	for (guint i = 0; i < table->rows->len; i++) {
		char **row = g_ptr_array_index(table->rows, i);

		if (column < g_strv_length(row))
			width = MAX(width, g_utf8_strlen(row[column], -1));
	}
	return width;
}

void ctl_table_print(struct ctl_table *table)
{
	guint columns = g_strv_length(g_ptr_array_index(table->rows, 0));

	for (guint i = 0; i < table->rows->len; i++) {
		char **row = g_ptr_array_index(table->rows, i);

		for (guint c = 0; c < columns && row[c]; c++) {
			glong pad = column_width(table, c) - g_utf8_strlen(row[c], -1);

			printf("%s%*s", row[c], c + 1 < columns ? (int)pad + 2 : 0, "");
		}
		putchar('\n');
	}
	g_ptr_array_free(table->rows, TRUE);
	g_free(table);
}
