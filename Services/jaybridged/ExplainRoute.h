#pragma once

#include <LibHTTP/ControlListener.h>
#include <LibRouting/GatewayMessages.h>

namespace jaybridge {

/// Explains where the request would go; called on the listener's thread.
using ExplainFunction =
    std::function<Result<std::shared_ptr<const RoutingExplanation>>(
        std::shared_ptr<const Request>, std::optional<TeamName>)>;

/// Route of `GET /explain?host=H&path=P&method=M[&team=T]`, which needs no
/// token. Answers 422 when a parameter is missing or wrong, and 503 when there
/// is no explanation in time.
ControlRoute explainRoute(ExplainFunction Explain);

} // namespace jaybridge
