#include "host.hpp"

namespace maddershed::drill {

void InstanceHost::launch(Instance& instance, const Launch& launch) {
  auto parsed = parse_settings(launch.settings);
  instance.columns = std::move(parsed.report_columns);
  try {
    instance.controller.emplace(std::move(parsed.settings), launch.seed);
  } catch (const std::invalid_argument& error) {
    throw WireError(error.what());
  }
}

std::vector<std::uint8_t> InstanceHost::handle(Time now, const std::vector<InstanceEvent>& events) {
  ReplyEncoder reply;
  std::vector<Action> actions;
  for (const auto& [id, wire_event, end_offset] : events) {
    const auto* launch_event = std::get_if<Launch>(&wire_event);
    if (launch_event == nullptr && !instances_.contains(id)) {
      throw WireError("event for instance " + std::to_string(id) +
                      " before its launch; its record ends at byte " + std::to_string(end_offset));
    }
    auto& instance = instances_[id];
    std::optional<Event> event;
    if (launch_event != nullptr) {
      launch(instance, *launch_event);
      event = Started{};
    } else if (std::holds_alternative<Stop>(wire_event)) {
      instance.controller.reset();
    } else if (const auto* end = std::get_if<AttemptEndedRaw>(&wire_event)) {
      auto ended = end->event;
      ended.report = to_load_report(instance.columns, end->column_values);
      event = ended;
    } else if (const auto* report = std::get_if<ExchangeReportRaw>(&wire_event)) {
      auto reported = report->event;
      reported.report = to_load_report(instance.columns, report->column_values);
      event = reported;
    } else {
      std::visit(
          [&event](const auto& other) {
            if constexpr (std::is_constructible_v<Event, decltype(other)>) event = other;
          },
          wire_event);
    }
    if (!event || !instance.controller) continue;
    actions.clear();
    try {
      instance.controller->handle(now, *event, actions);
    } catch (const std::exception& error) {
      reply.add_error(id, error.what());
      continue;
    }
    for (const auto& action : actions) reply.add(id, action);
  }
  return reply.take_frame();
}

}  // namespace maddershed::drill
