#pragma once

#include <LibControl/ConfigurationMessages.h>

#include <map>

namespace jaybridge {

/// Operators' questions at this daemon that a control member has to answer.
/// Each is sent to one member after the other until one answers or time is up;
/// changes may be sent twice since they carry a request id.
class OperatorRequests {
public:
  static constexpr Duration AnswerLimit = 8s;
  static constexpr Duration ResendInterval = 1s;
  static constexpr std::size_t GreatestCount = 1024;

  using Question = std::variant<OperatorChangeRequest, OperatorCatalogRequest>;
  using Effects = std::vector<ConfigurationEffect>;

  explicit OperatorRequests(std::vector<MemberId> ControlMembers)
      : ControlMembers_(std::move(ControlMembers)) {}

  void ask(Question Asked, std::optional<MemberId> First, TimePoint Now,
           Effects &Out);
  void receive(const ChangeResponse &Decided, TimePoint Now, Effects &Out);
  void receive(const CatalogResponse &Provided, TimePoint Now, Effects &Out);
  void advance(TimePoint Now, Effects &Out);
  std::optional<TimePoint> nextDeadline() const;

private:
  struct Open {
    Question Question_;
    TimePoint GivenUpAt_;
    TimePoint ResendAt_;
    std::size_t NextMember_ = 0;
  };
  using OpenQuestions = std::map<QueryId, Open>;

  void send(Open &Each, std::optional<MemberId> To, TimePoint Now,
            Effects &Out);
  /// True when the answer only names another member, which was then asked.
  bool isRedirected(QueryId Query, const std::optional<MemberId> &TryInstead,
                    TimePoint Now, Effects &Out);

  std::vector<MemberId> ControlMembers_;
  OpenQuestions Open_;
};

} // namespace jaybridge
