/* Types and functions shared by the commands of greengagectl: options, requests to an entry,
 * output. */
#ifndef GG_CTL_H
#define GG_CTL_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "status.h"

enum ctl_exit {
	CTL_EXIT_OK = 0,
	CTL_EXIT_FAILED = 1, /* a request failed or was refused, or a job did not finish in time */
	CTL_EXIT_USAGE = 2,  /* invalid command line, input file or settings */
	CTL_EXIT_JOB_FAILED = 4, /* a job ended as failed or cancelled */
};

/* Command-line options. Options that the selected command does not have keep their defaults. */
struct ctl_options {
	char **entries; /* base URLs of entries in the order in which they are tried */
	gboolean json;
	gint64 timeout_ms; /* timeout of a request; the wait time of the request is added to it */
	char *session;
	char *key;
	gboolean claim; /* submit by key alone, without a session */
	gint64 wait_ms; /* total time to wait for a job */
	gint64 base;	/* configuration version that the patch applies to; negative for the current
			   one */
	char *author;
	/* Backend servers, hosts and zones to drain or undrain; NULL if none is given. */
	char **servers;
	char **hosts;
	char **zones;
};

/* HTTP response to a request. */
struct ctl_response {
	long http_code;
	json_t *body;	       /* NULL if there is none or it is not valid JSON */
	char *renewed_session; /* session token in the header Greengage-Session, or NULL */
};

/*
 * Sends a METHOD request for PATH, which begins with a slash and may contain a query, to the first
 * entry that accepts a connection. BODY may be NULL. The request is sent at most once. WAIT_MS is
 * the time that the entry may wait before it responds; it is added to the timeout in OPTIONS.
 * Returns STATUS_NETWORK, with RESPONSE empty, if no complete response was received; the outcome is
 * OUTCOME_NOT_RUN if the request was certainly not sent. Returns STATUS_OK for every HTTP response,
 * even one with an error status.
 */
enum status ctl_request(const struct ctl_options *options, const char *method, const char *path,
			const json_t *body, int64_t wait_ms, struct ctl_response *response,
			struct error *err);
void ctl_response_clear(struct ctl_response *response);

/* Sends a request as ctl_request does. Returns true if the response has a 2xx status and, unless
 * METHOD is DELETE, a JSON body. Otherwise prints an error to standard error and, with --json, the
 * response body, if any, to standard output. */
bool ctl_fetch(const struct ctl_options *options, const char *method, const char *path,
	       const json_t *body, int64_t wait_ms, struct ctl_response *response);

/* Prints ERR to standard error. */
void ctl_print_error(const struct error *err);
/* Prints type, outcome and message of the error object in RESPONSE to standard error. */
void ctl_print_response_error(const struct ctl_response *response);
/* Prints VALUE to standard output: on one line with --json, otherwise indented for readability. */
void ctl_print_json(const struct ctl_options *options, const json_t *value);

/* Reads a JSON value from FILE, or from standard input if FILE is "-". If there is no valid JSON,
 * prints an error to standard error and returns NULL. */
json_t *ctl_read_json(const char *file);

/* Table of text cells that is printed with aligned columns. */
struct ctl_table;

/* Creates a table. TITLES are the column titles, separated by tabs. */
struct ctl_table *ctl_table_new(const char *titles);
/* Adds a row. The formatted text contains its cells, separated by tabs. Cells are not
 * escaped: names, the only free text in a table, contain no control characters, hence no tabs. */
void ctl_table_add_row(struct ctl_table *table, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
/* Prints the table and frees it. */
void ctl_table_print(struct ctl_table *table);

/* Returns the string at KEY, or "-" if there is none or it is empty. */
const char *ctl_json_string(const json_t *object, const char *key);
/* Returns the integer at KEY, or 0 if there is none. */
long long ctl_json_integer(const json_t *object, const char *key);

/* Commands. ARGS are the arguments after the command's name, terminated by NULL. */
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
enum ctl_exit cmd_evacuations(const struct ctl_options *options, char **args);
enum ctl_exit cmd_report(const struct ctl_options *options, char **args);
enum ctl_exit cmd_settings_check(const struct ctl_options *options, char **args);

#endif
