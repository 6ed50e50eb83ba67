/* Shared parts of the command-line tool: options, requests to an entry, output. */
#ifndef GG_CTL_H
#define GG_CTL_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "status.h"

enum ctl_exit {
	CTL_EXIT_OK = 0,
	CTL_EXIT_FAILED = 1,	 /* a request failed or was refused */
	CTL_EXIT_USAGE = 2,	 /* or invalid settings */
	CTL_EXIT_JOB_FAILED = 4, /* a job ended as failed or cancelled */
};

/* Options as given; those of other commands than the one that runs keep their defaults. */
struct ctl_options {
	char **entries; /* base URLs, tried in order */
	gboolean json;
	gint64 timeout_ms; /* limit on one request beyond the wait that it asks for */
	char *session;
	char *key;
	gboolean claim;
	gint64 wait_ms;
	gint64 base;
	char *author;
	char **servers;
	char **hosts;
	char **zones;
};

/* The answer to one request. */
struct ctl_response {
	long http_code;
	json_t *body;  /* NULL when there is none */
	char *session; /* fresh session token, or NULL */
};

/*
 * Sends METHOD to PATH (which begins with a slash) at the first entry that can be connected. BODY
 * may be NULL. The request is sent at most once. WAIT_MS is how long the entry may take because the
 * request says so. STATUS_NETWORK when no answer was received: outcome "not run" when the request
 * was surely not sent. ANSWER is then empty.
 */
enum status ctl_request(const struct ctl_options *options, const char *method, const char *path,
			const json_t *body, int64_t wait_ms, struct ctl_response *response,
			struct error *err);
void ctl_response_clear(struct ctl_response *response);

/* As ctl_request, and reports on standard error a request that failed or was refused. Returns
 * whether the answer has a 2xx status and a body or 204. */
bool ctl_fetch(const struct ctl_options *options, const char *method, const char *path,
	       const json_t *body, int64_t wait_ms, struct ctl_response *response);

/* Reports ERR on standard error. */
void ctl_print_error(const struct error *err);
/* Reports a refusal: its type, outcome and message. */
void ctl_print_error_response(const struct ctl_response *response);
/* Prints JSON on standard output, indented for people. */
void ctl_print_json(const struct ctl_options *options, const json_t *value);

/* Reads JSON from FILE, or standard input for "-". Reports on standard error and returns NULL when
 * there is none. */
json_t *ctl_read_json(const char *file);

/* Rows of text that are printed in aligned columns. */
struct ctl_table;

/* Makes a table with the column titles TITLES, separated by tabs. */
struct ctl_table *ctl_table_new(const char *titles);
/* Adds one row; its cells are formatted as by printf and separated by tabs. Names hold no control
 * characters. */
void ctl_table_add_row(struct ctl_table *table, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
/* Prints the table and frees it. */
void ctl_table_print(struct ctl_table *table);

/* Return the text at KEY or "-", and the integer at KEY or 0. */
const char *ctl_json_string(const json_t *object, const char *key);
long long ctl_json_integer(const json_t *object, const char *key);

/* The commands. ARGS are the words after the command's name, ending with NULL. */
enum ctl_exit cmd_session_open(const struct ctl_options *options, char **args);
enum ctl_exit cmd_session_close(const struct ctl_options *options, char **args);
enum ctl_exit cmd_submit(const struct ctl_options *options, char **args);
enum ctl_exit cmd_result(const struct ctl_options *options, char **args);
enum ctl_exit cmd_cancel(const struct ctl_options *options, char **args);
enum ctl_exit cmd_config_get(const struct ctl_options *options, char **args);
enum ctl_exit cmd_config_patch(const struct ctl_options *options, char **args);
enum ctl_exit cmd_config_history(const struct ctl_options *options, char **args);
enum ctl_exit cmd_drain(const struct ctl_options *options, char **args);
enum ctl_exit cmd_undrain(const struct ctl_options *options, char **args);
enum ctl_exit cmd_members(const struct ctl_options *options, char **args);
enum ctl_exit cmd_report(const struct ctl_options *options, char **args);
enum ctl_exit cmd_settings_check(const struct ctl_options *options, char **args);

#endif
