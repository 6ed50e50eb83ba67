/* Controller of the configuration: patches, the fold of the log stream, adoption, rules. */
#ifndef GG_ENTRY_CONFIG_H
#define GG_ENTRY_CONFIG_H

#include "entry_board.h"

void entry_config_init(struct board *board);
void entry_config_free(struct board *board);

/* Handles PATCH /v1/config and GET /v1/config/history. */
void entry_config_handle_patch(struct board *board, struct request *request);
void entry_config_handle_history(struct board *board, struct request *request);

/* Takes a record of the stream, and the notice that records were dropped. */
void entry_config_apply_record(struct board *board, const struct log_record *record);
void entry_config_handle_truncation(struct board *board, uint64_t first);

/* Takes the end of the append REQUEST; ERR has STATUS_OK when it succeeded. Returns false when the
 * append is not one of a patch. */
bool entry_config_handle_append_result(struct board *board, uint64_t request,
				       const struct error *err);

/* Takes a state from a peer or an agent. */
void entry_config_adopt(struct board *board, const Gg__ConfigState *state);

/* Fills STATE with the version and document in force; the text is owned by BOARD. */
void entry_config_fill_state(struct board *board, Gg__ConfigState *state);
void entry_config_send_to_agent(struct board *board, struct agent *agent);
void entry_config_request_from_agent(struct board *board, struct agent *agent);

/* Appends a snapshot when the last one is old. Called periodically. */
void entry_config_tick(struct board *board);

/* Refuses all patches that wait, for a forced stop. */
void entry_config_fail_all(struct board *board);

/* Publishes what HTTP threads read. Call after a change of readiness or configuration. */
void entry_config_publish(struct board *board);

#endif
