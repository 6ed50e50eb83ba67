/* Requests of the platform's clients: parsing of requests and jobs, and the answers to them. */
#ifndef GG_CLIENT_API_H
#define GG_CLIENT_API_H

#include <glib.h>
#include <stdint.h>

#include "dispatch.h"
#include "http_server.h"
#include "status.h"

enum {
	CLIENT_JOB_ID_BYTES = 17 /* 16 hexadecimal digits and the terminating NUL */
};

enum client_action {
	CLIENT_SUBMIT,
	CLIENT_STATE,
	CLIENT_CANCEL,
	CLIENT_PENDING, /* query the number of waiting jobs of a queue */
};

/* A request addressed to a queue. */
struct client_request {
	enum client_action action;
	char id[CLIENT_JOB_ID_BYTES]; /* empty for CLIENT_PENDING */
	uint64_t job_number;	      /* numeric value of ID */
	int64_t wait_ms; /* how long the client waits for the answer; 0 if not specified */
};

/* A submitted job. It has a single step. */
struct client_job {
	GBytes *spec;
	uint32_t task_count;
	struct resources task_resources; /* resources required by each task */
	int64_t estimated_run_ms;	 /* estimated run time of a task; 0 if absent */
};

/*
 * Parses the method, the headers and the part of the path after its first PREFIX_BYTES bytes.
 * Returns STATUS_NOT_FOUND when that part is neither a job id nor, for a GET, empty, and
 * STATUS_METHOD_NOT_ALLOWED when the method is none of GET, POST and DELETE.
 */
enum status client_request_parse(const struct http_request *request, size_t prefix_bytes,
				 struct client_request *parsed, struct error *err);

/*
 * Parses the body of a submission. The caller frees JOB with client_job_clear. Returns
 * STATUS_INVALID_JSON, STATUS_INVALID_REQUEST for a field that is missing, out of range or of a
 * wrong type, and STATUS_SERVER_REFUSED, with a message that names the field, for a kind of job
 * that is not supported.
 */
enum status client_job_parse(const char *body, size_t length, struct client_job *job,
			     struct error *err);

void client_job_clear(struct client_job *job);

/* Returns whether REQUEST is the load balancer's readiness probe of this host. */
bool client_is_readiness_probe(const struct http_request *request);

/* Answers a submission after its job has ended. */
void client_answer_job_end(struct http_request *request, const struct job_end *end);

/* Answers a request that failed before it reached a job, with the HTTP status code that the
 * platform's protocol assigns to the status of ERR. */
void client_answer_error(struct http_request *request, const struct error *err);

/* Answers with the number of waiting jobs of a queue. */
void client_answer_pending(struct http_request *request, uint32_t pending);
/* Answers with the state of an unfinished job: "active" if STARTED, else "queued". */
void client_answer_state(struct http_request *request, bool started);

/* Answers with the final state of a job: "completed" or "failed". */
void client_answer_result(struct http_request *request, bool completed);

/* Returns the numeric value of a job id of 16 hexadecimal digits. */
uint64_t client_job_number(const char *id);

/* Answers 200 with an empty JSON object, for example after a job was cancelled. */
void client_answer_empty(struct http_request *request);

/* Answers 410 (Gone) to a request for an unknown job. */
void client_answer_gone(struct http_request *request);

/* Returns the platform's name of a task, which the caller frees with g_free. */
char *client_task_name(const char *job, uint32_t step, uint32_t index);

#endif
