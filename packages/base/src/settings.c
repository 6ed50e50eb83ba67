#include "settings.h"

#include <glib.h>
#include <string.h>

enum {
	PATH_BYTES = 160
};

/* The arguments of settings_parse that its helpers need. */
struct parse_context {
	const char *file;
	const struct settings_field *fields;
	size_t count;
	char *target;
};

/* Returns whether PATH is the path of an object: whether the path of a field starts with PATH and a
 * dot. */
static bool is_object_path(const struct parse_context *ctx, const char *path)
{
	size_t length = strlen(path);

	for (size_t i = 0; i < ctx->count; i++) {
		if (strncmp(ctx->fields[i].path, path, length) == 0 &&
		    ctx->fields[i].path[length] == '.')
			return true;
	}
	return false;
}

static const struct settings_field *find_field(const struct parse_context *ctx, const char *path)
{
	for (size_t i = 0; i < ctx->count; i++) {
		if (strcmp(ctx->fields[i].path, path) == 0)
			return &ctx->fields[i];
	}
	return NULL;
}

/* Returns an error if OBJECT, which is at path OBJECT_PATH, contains a key that is not in the list
 * of fields. */
static enum status check_keys(const struct parse_context *ctx, const json_t *object,
			      const char *object_path, struct error *err)
{
	const char *key;
	json_t *value;

	json_object_foreach ((json_t *)object, key, value) {
		char path[PATH_BYTES];
		enum status status;

		g_snprintf(path, sizeof(path), "%s%s%s", object_path, *object_path ? "." : "", key);
		if (find_field(ctx, path))
			continue;
		if (!is_object_path(ctx, path))
			return error_set(err, STATUS_INVALID_SETTINGS, "%s: %s: unknown key",
					 ctx->file, path);
		if (!json_is_object(value))
			return error_set(err, STATUS_INVALID_SETTINGS,
					 "%s: %s: wrong type, accepted: object", ctx->file, path);
		status = check_keys(ctx, value, path, err);
		if (status != STATUS_OK)
			return status;
	}
	return STATUS_OK;
}

static const json_t *get_by_path(const json_t *document, const char *path)
{
	char **parts = g_strsplit(path, ".", -1);
	const json_t *value = document;

	for (int i = 0; parts[i] && value; i++)
		value = json_object_get(value, parts[i]);
	g_strfreev(parts);
	return value;
}

static enum status set_type_error(const struct parse_context *ctx,
				  const struct settings_field *field, const char *accepted,
				  struct error *err)
{
	return error_set(err, STATUS_INVALID_SETTINGS, "%s: %s: wrong type, accepted: %s",
			 ctx->file, field->path, accepted);
}

static enum status parse_int(const struct parse_context *ctx, const struct settings_field *field,
			     const json_t *value, struct error *err)
{
	int64_t number = field->default_number;

	if (value && !json_is_integer(value))
		return error_set(err, STATUS_INVALID_SETTINGS,
				 "%s: %s: wrong type, accepted: integer from %lld to %lld",
				 ctx->file, field->path, (long long)field->min,
				 (long long)field->max);
	if (value)
		number = json_integer_value(value);
	if (number < field->min || number > field->max)
		return error_set(err, STATUS_INVALID_SETTINGS,
				 "%s: %s: value %lld out of range, accepted: %lld to %lld",
				 ctx->file, field->path, (long long)number, (long long)field->min,
				 (long long)field->max);
	*(int64_t *)(ctx->target + field->offset) = number;
	return STATUS_OK;
}

static enum status parse_number(const struct parse_context *ctx, const struct settings_field *field,
				const json_t *value, struct error *err)
{
	double number = value ? json_number_value(value) : (double)field->default_number;

	if (value && !json_is_number(value))
		return set_type_error(ctx, field, "number", err);
	if (number < (double)field->min || number > (double)field->max)
		return error_set(err, STATUS_INVALID_SETTINGS,
				 "%s: %s: value %g out of range, accepted: %lld to %lld", ctx->file,
				 field->path, number, (long long)field->min, (long long)field->max);
	*(double *)(ctx->target + field->offset) = number;
	return STATUS_OK;
}

static enum status parse_bool(const struct parse_context *ctx, const struct settings_field *field,
			      const json_t *value, struct error *err)
{
	if (value && !json_is_boolean(value))
		return set_type_error(ctx, field, "true or false", err);
	*(bool *)(ctx->target + field->offset) =
		value ? json_is_true(value) : field->default_number != 0;
	return STATUS_OK;
}

static enum status parse_string(const struct parse_context *ctx, const struct settings_field *field,
				const json_t *value, struct error *err)
{
	const char *text = value ? json_string_value(value) : field->default_text;
	size_t length;

	if (value && !text)
		return set_type_error(ctx, field, "string", err);
	if (!text)
		return STATUS_OK;
	length = strlen(text);
	if (value && ((int64_t)length < field->min || (int64_t)length > field->max))
		return error_set(err, STATUS_INVALID_SETTINGS,
				 "%s: %s: %zu bytes long, accepted: %lld to %lld bytes", ctx->file,
				 field->path, length, (long long)field->min, (long long)field->max);
	*(char **)(ctx->target + field->offset) = g_strdup(text);
	return STATUS_OK;
}

static enum status parse_enum(const struct parse_context *ctx, const struct settings_field *field,
			      const json_t *value, struct error *err)
{
	const char *text = value ? json_string_value(value) : field->default_text;
	char *accepted;
	enum status status;

	if (value && !text)
		return set_type_error(ctx, field, "string", err);
	if (!text)
		return STATUS_OK;
	if (g_strv_contains(field->choices, text)) {
		*(char **)(ctx->target + field->offset) = g_strdup(text);
		return STATUS_OK;
	}
	accepted = g_strjoinv(", ", (char **)field->choices);
	status = error_set(err, STATUS_INVALID_SETTINGS, "%s: %s: value \"%s\", accepted: %s",
			   ctx->file, field->path, text, accepted);
	g_free(accepted);
	return status;
}

static enum status parse_list(const struct parse_context *ctx, const struct settings_field *field,
			      const json_t *value, struct error *err)
{
	size_t size = value ? json_array_size(value) : 0;
	char **list;

	if (value && !json_is_array(value))
		return set_type_error(ctx, field, "list of strings", err);
	if ((int64_t)size > field->max)
		return error_set(err, STATUS_INVALID_SETTINGS,
				 "%s: %s: %zu items, accepted: at most %lld", ctx->file,
				 field->path, size, (long long)field->max);
	for (size_t i = 0; i < size; i++) {
		if (!json_is_string(json_array_get(value, i)))
			return set_type_error(ctx, field, "list of strings", err);
	}
	list = g_new0(char *, size + 1);
	for (size_t i = 0; i < size; i++)
		list[i] = g_strdup(json_string_value(json_array_get(value, i)));
	*(char ***)(ctx->target + field->offset) = list;
	return STATUS_OK;
}

static enum status parse_map(const struct parse_context *ctx, const struct settings_field *field,
			     const json_t *value, struct error *err)
{
	const char *key;
	json_t *item;

	if (value && !json_is_object(value))
		return set_type_error(ctx, field, "object with string values", err);
	json_object_foreach ((json_t *)value, key, item) {
		if (!json_is_string(item))
			return set_type_error(ctx, field, "object with string values", err);
	}
	*(json_t **)(ctx->target + field->offset) = value ? json_deep_copy(value) : json_object();
	return STATUS_OK;
}

static enum status parse_field(const struct parse_context *ctx, const struct settings_field *field,
			       const json_t *value, struct error *err)
{
	if (!value && field->required)
		return error_set(err, STATUS_INVALID_SETTINGS, "%s: %s: required key is missing",
				 ctx->file, field->path);
	switch (field->type) {
	case SETTINGS_INT:
		return parse_int(ctx, field, value, err);
	case SETTINGS_NUMBER:
		return parse_number(ctx, field, value, err);
	case SETTINGS_BOOL:
		return parse_bool(ctx, field, value, err);
	case SETTINGS_STRING:
		return parse_string(ctx, field, value, err);
	case SETTINGS_ENUM:
		return parse_enum(ctx, field, value, err);
	case SETTINGS_STRING_LIST:
		return parse_list(ctx, field, value, err);
	case SETTINGS_MAP:
		return parse_map(ctx, field, value, err);
	}
	return error_set(err, STATUS_INTERNAL, "%s: unknown field type", field->path);
}

enum status settings_parse(const char *file, const json_t *document,
			   const struct settings_field *fields, size_t count, void *target,
			   struct error *err)
{
	struct parse_context ctx = {
		.file = file, .fields = fields, .count = count, .target = target};
	enum status status;

	if (!json_is_object(document))
		return error_set(err, STATUS_INVALID_SETTINGS,
				 "%s: the document must be a JSON object", file);
	status = check_keys(&ctx, document, "", err);
	for (size_t i = 0; i < count && status == STATUS_OK; i++)
		status = parse_field(&ctx, &fields[i], get_by_path(document, fields[i].path), err);
	return status;
}

enum status settings_load(const char *file, const struct settings_field *fields, size_t count,
			  void *target, struct error *err)
{
	json_error_t parse_error;
	json_t *document;
	enum status status;

	if (!g_file_test(file, G_FILE_TEST_IS_REGULAR))
		return error_set(err, STATUS_NOT_FOUND, "%s: not found or not a regular file",
				 file);
	document = json_load_file(file, JSON_REJECT_DUPLICATES, &parse_error);
	if (!document)
		return error_set(err, STATUS_INVALID_SETTINGS, "%s: line %d: %s", file,
				 parse_error.line, parse_error.text);
	status = settings_parse(file, document, fields, count, target, err);
	json_decref(document);
	return status;
}

void settings_free(const struct settings_field *fields, size_t count, void *target)
{
	for (size_t i = 0; i < count; i++) {
		char *value = (char *)target + fields[i].offset;

		switch (fields[i].type) {
		case SETTINGS_STRING:
		case SETTINGS_ENUM:
			g_clear_pointer((char **)value, g_free);
			break;
		case SETTINGS_STRING_LIST:
			g_clear_pointer((char ***)value, g_strfreev);
			break;
		case SETTINGS_MAP:
			g_clear_pointer((json_t **)value, json_decref);
			break;
		case SETTINGS_INT:
		case SETTINGS_NUMBER:
		case SETTINGS_BOOL:
			break;
		}
	}
}
