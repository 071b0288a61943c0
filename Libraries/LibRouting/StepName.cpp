#include <LibRouting/StepName.h>

namespace jaybridge {

const char *stepName(StepKind Kind) {
  switch (Kind) {
  case StepKind::Received:
    return "received";
  case StepKind::Queued:
    return "queued";
  case StepKind::Claimed:
    return "claimed";
  case StepKind::Dispatched:
    return "dispatched";
  case StepKind::AttemptEnded:
    return "attempt-ended";
  case StepKind::Retried:
    return "retried";
  case StepKind::Hedged:
    return "hedged";
  case StepKind::Forwarded:
    return "forwarded";
  case StepKind::Answered:
    return "answered";
  case StepKind::Refused:
    return "refused";
  case StepKind::Overdue:
    return "overdue";
  }
  return "unknown";
}

} // namespace jaybridge
