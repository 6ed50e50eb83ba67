/* Controller of what operators read: members, service-level burn, gauges. */
#ifndef GG_ENTRY_REPORT_H
#define GG_ENTRY_REPORT_H

#include "entry_board.h"

/* Handle GET /v1/members and GET /v1/report. */
void entry_report_handle_members(struct board *board, struct request *request);
void entry_report_handle_burn(struct board *board, struct request *request);

/* Sets the gauges and passes wasted messages on to the burn report. Called periodically. */
void entry_report_tick(struct board *board);

#endif
