"""The command that reviews daemons' logs."""

from collections.abc import Iterator
from typing import Any

import msgspec

from bergamotsaddle_cli.log_command import LogsCommand
from bergamotsaddle_cli.review import RatioQuantiles, Review, review_logs

EXIT_EMPTY = 1


class ReviewCommand(LogsCommand):
    """Shows from daemons' logs how well the daemons decided."""

    name = "review"
    description = "Review forecasts, calls, refusals and waste from daemons' logs."

    def show(self, lines: Iterator[dict[str, Any]]) -> int:
        """Show the statistics; return 0, or 1 if the logs hold no request's end."""
        found = review_logs(lines)
        if not found.ends_by_route:
            self.line_error("no request ended in these logs")
            return EXIT_EMPTY
        if self.option("json"):
            self.line(msgspec.json.encode(found._asdict()).decode())
        else:
            self._print_review(found)
        return 0

    def _print_review(self, found: Review) -> None:
        self.line("actual against expected     count  median   p90")
        self._print_quantiles("first event", found.first_event)
        self._print_quantiles("engine's part", found.engine)
        for name, quantiles in found.by_stage.items():
            self._print_quantiles(f"stage {name}", quantiles)
        self.line("")
        self.line("stage service     calls  pieces  while waiting  most  away  unmade")
        for name, calls in found.calls_by_service.items():
            unmade = ", ".join(f"{n} {r}" for r, n in calls["unmade"].items()) or "none"
            self.line(
                f"{name:16} {calls['calls']:6} {calls['pieces']:7}"
                f" {calls['while_waiting']:14} {calls['most']:5} {calls['away']:5}"
                f"  {unmade}"
            )
        self.line("")
        self.line("route            whole  turned away  lost  other")
        for route, counts in found.ends_by_route.items():
            self.line(
                f"{route:16} {counts['whole']:5} {counts['turned_away']:12}"
                f" {counts['lost']:5} {counts['other']:6}"
            )
        self.line("")
        self.line("late first event by what took longer than expected")
        for route, reasons in found.late_by_route.items():
            text = ", ".join(f"{n} {reason}" for reason, n in reasons.items())
            self.line(f"{route:16} {text}")
        self.line("")
        self.line("from second      whole  turned away  lost  cores   late s")
        for span in found.spans:
            self.line(
                f"{span['begins']:<16.0f} {span['whole']:5} {span['turned_away']:12}"
                f" {span['lost']:5} {span['cpu']:6.3f} {span['delay']:8.3f}"
            )
        self.line("")
        self.line(f"stages done for requests that were lost: {found.lost_pieces}")
        self.line(found.binds)

    def _print_quantiles(self, name: str, quantiles: RatioQuantiles) -> None:
        self.line(
            f"{name:26} {quantiles['count']:6} {quantiles['median']:7}"
            f" {quantiles['p90']:5}"
        )
