#include <Daemon.h>
#include <ProcessStart.h>

#include <LibHTTP/RequestIdGenerator.h>

namespace jaybridge {

void Daemon::startHistory() {
  History_.start([this](HistoryService::Effect Effect)
                     -> std::optional<HistoryService::Event> {
    deliver(std::move(Effect));
    return std::nullopt;
  });
}

void Daemon::deliver(HistoryService::Effect Effect) {
  std::visit(Overloaded{
                 [this](SendToMember<TraceMessage> &Send) {
                   send(Send.To_, Send.Message_);
                 },
                 [this](const auto &Response) { Api_.answer(Response); },
             },
             Effect);
}

OperatorSinks Daemon::operatorSinks() {
  OperatorSinks Sinks;
  Sinks.Change_ = [this](OperatorChangeRequest Request) {
    return post(Configuration_, std::move(Request));
  };
  Sinks.Catalog_ = [this](OperatorCatalogRequest Request) {
    return post(Configuration_, Request);
  };
  Sinks.Audit_ = [this](OperatorAuditRequest Request) {
    return post(History_, std::move(Request));
  };
  Sinks.Trace_ = [this](OperatorTraceRequest Request) {
    Request.Receiver_ = receivingMemberOf(Request.Request_);
    return post(History_, std::move(Request));
  };
  Sinks.Status_ = [this](OperatorStatusRequest Request) {
    return post(*Fleet_, Request);
  };
  return Sinks;
}

std::string Daemon::metricsText() {
  CallerListenerCounts Callers = RequestPath_->callers().counts();
  UpstreamClientCounts Upstreams = RequestPath_->upstreams().counts();
  RequestPathCounts Responses = RequestPath_->counts();
  PeerTransportCounts Peers = Peers_.counts();
  const std::pair<const char *, EventCount> Counts[] = {
      {"jaybridge_requests_received_total", Callers.Received_},
      {"jaybridge_requests_refused_by_listener_total", Callers.Refused_},
      {"jaybridge_callers_gone_total", Callers.Disconnected_},
      {"jaybridge_answers_without_caller_total", Callers.UndeliveredAnswers_},
      {"jaybridge_answers_whole_total", Responses.Answered_},
      {"jaybridge_refusals_not_run_total", Responses.RefusedNotRun_},
      {"jaybridge_refusals_ran_total", Responses.RefusedRan_},
      {"jaybridge_refusals_unknown_total", Responses.RefusedUnknown_},
      {"jaybridge_request_rings_full_total", Responses.RingsFull_},
      {"jaybridge_attempts_started_total", Upstreams.Started_},
      {"jaybridge_upstream_connections_total", Upstreams.Connections_},
      {"jaybridge_resends_prevented_total", Upstreams.ResendsPrevented_},
      {"jaybridge_upstream_responses_misattributed_total",
       Upstreams.Misattributed_},
      {"jaybridge_upstream_responses_malformed_total", Upstreams.Malformed_},
      {"jaybridge_upstream_responses_too_large_total", Upstreams.TooLarge_},
      {"jaybridge_peer_messages_sent_total", Peers.Sent_},
      {"jaybridge_peer_messages_received_total", Peers.Received_},
      {"jaybridge_peer_queues_full_total", Peers.QueueFull_},
      {"jaybridge_peer_messages_expired_total", Peers.Expired_},
      {"jaybridge_peers_unauthorized_total", Peers.Unauthorized_},
      {"jaybridge_peer_messages_damaged_total", Peers_.damagedCount()},
      {"jaybridge_announcements_unauthorized_total",
       AnnounceListener_->counts().Unauthorized_},
      {"jaybridge_operators_unauthorized_total",
       OperatorListener_->counts().Unauthorized_},
  };
  std::string Text = Metrics_.text();
  auto Append = [&Text](const std::string &Name, EventCount Count) {
    Text += "# TYPE " + Name + " counter\n" + Name + " " +
            std::to_string(Count.value()) + "\n";
  };
  for (const auto &[Name, Count] : Counts)
    Append(Name, Count);
  for (const auto &[Name, Count] : callerMetrics(Callers))
    Append(Name + "_total", Count);
  return Text;
}

} // namespace jaybridge
