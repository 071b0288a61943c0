#pragma once

#include <LibControl/ConfigurationMessages.h>

#include <map>

namespace jaybridge {

/// Pending operator requests of this daemon that a control member has to
/// answer. Each one is sent to the control members in turn until one of them
/// answers or AnswerTimeout passes. A change may be sent twice, because its
/// request id lets the catalog recognize the resend.
class OperatorRequests {
public:
  static constexpr Duration AnswerTimeout = 8s;
  static constexpr Duration ResendInterval = 1s;
  static constexpr std::size_t MaxPendingRequests = 1024;

  using OperatorRequest =
      std::variant<OperatorChangeRequest, OperatorCatalogRequest>;
  using Effects = std::vector<ConfigurationEffect>;

  explicit OperatorRequests(std::vector<MemberId> ControlMembers)
      : ControlMembers_(std::move(ControlMembers)) {}

  /// Sends the request to `FirstMember` if given, else to the next control
  /// member in turn. Answers at once with `Unavailable` if no control member is
  /// known or too many requests are pending.
  void submit(OperatorRequest Request, std::optional<MemberId> FirstMember,
              TimePoint Now, Effects &Out);
  void receive(const ChangeResponse &Response, TimePoint Now, Effects &Out);
  void receive(const CatalogResponse &Response, TimePoint Now, Effects &Out);
  void advance(TimePoint Now, Effects &Out);
  std::optional<TimePoint> nextDeadline() const;

private:
  struct PendingRequest {
    OperatorRequest Request_;
    TimePoint ExpiresAt_;
    TimePoint ResendAt_;
    std::size_t NextMember_ = 0;
  };
  using PendingRequestMap = std::map<QueryId, PendingRequest>;

  void send(PendingRequest &Pending, std::optional<MemberId> To, TimePoint Now,
            Effects &Out);
  /// Sends a pending request to the member of the hint. Returns false if the
  /// response has no hint and so is the answer itself.
  bool followLeaderHint(QueryId Query,
                        const std::optional<MemberId> &LeaderHint,
                        TimePoint Now, Effects &Out);

  std::vector<MemberId> ControlMembers_;
  PendingRequestMap PendingRequests_;
};

} // namespace jaybridge
