"""The runtime clock and the timers that run on it."""

from __future__ import annotations

from sequoiapulley.runtime.clock import Clock, PausedClock, SystemClock
from sequoiapulley.runtime.timer_queue import TimerHandle, TimerQueue
from sequoiapulley.runtime.wake_up import WakeUpTimer

__all__ = ["Clock", "PausedClock", "SystemClock", "TimerHandle", "TimerQueue", "WakeUpTimer"]
