//! The retry budget, in thousandths of a call.
//!
//! The first node of a call earns credit in a [`Bucket`], a tenth of a call for each call. It spends
//! the credit on its own retries, or hands it down with a call as a [`Budget`]. No node below the
//! first adds to it and a budget is moved and never copied, so the retries on any path from the first
//! node down are paid for by the bucket, however deep the path is.

/// Price of one retry or hedge.
pub const RETRY_COST_MILLI: u32 = 1_000;

/// Most that a call may carry, which is one retry over its full depth.
pub const MAX_CARRIED_MILLI: u32 = RETRY_COST_MILLI;

/// Settings of the bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Credit earned by each call, in thousandths of a call.
    pub earned_milli: u32,
    /// Most credit that the bucket holds, in thousandths of a call.
    pub capacity_milli: u32,
    /// Credit kept for the node's own retries and not handed down, in thousandths of a call.
    pub reserve_milli: u32,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            earned_milli: 100,
            capacity_milli: 100_000,
            reserve_milli: 50_000,
        }
    }
}

/// The credit of one node for the calls that enter the mesh through it.
///
/// The bucket starts empty, so that retries never exceed a tenth of the calls so far.
///
/// ```
/// use hitch_retry::Bucket;
/// use hitch_retry::budget::Options;
///
/// let mut bucket = Bucket::new(Options::default());
/// for _ in 0..10 {
///     bucket.earn();
/// }
/// assert!(bucket.try_spend());
/// assert!(!bucket.try_spend());
/// ```
#[derive(Debug, Clone)]
pub struct Bucket {
    options: Options,
    milli: u32,
}

impl Bucket {
    /// Makes an empty bucket.
    ///
    /// ```
    /// # use hitch_retry::Bucket;
    /// assert_eq!(Bucket::new(Default::default()).milli(), 0);
    /// ```
    pub fn new(options: Options) -> Bucket {
        Bucket { options, milli: 0 }
    }

    /// Returns the credit left, in thousandths of a call.
    ///
    /// ```
    /// # use hitch_retry::Bucket;
    /// let mut bucket = Bucket::new(Default::default());
    /// bucket.earn();
    /// assert_eq!(bucket.milli(), 100);
    /// ```
    pub fn milli(&self) -> u32 {
        self.milli
    }

    /// Earns the credit of one call that entered the mesh here.
    ///
    /// ```
    /// # use hitch_retry::Bucket;
    /// # let mut bucket = Bucket::new(Default::default());
    /// bucket.earn();
    /// ```
    pub fn earn(&mut self) {
        self.add(self.options.earned_milli);
    }

    /// Pays for one retry or hedge of this node and returns whether the credit sufficed.
    ///
    /// ```
    /// # use hitch_retry::Bucket;
    /// assert!(!Bucket::new(Default::default()).try_spend());
    /// ```
    pub fn try_spend(&mut self) -> bool {
        if self.milli < RETRY_COST_MILLI {
            return false;
        }
        self.milli -= RETRY_COST_MILLI;
        true
    }

    /// Takes the budget that the next call carries down: one retry, or nothing when the credit would
    /// fall below the reserve.
    ///
    /// ```
    /// # use hitch_retry::Bucket;
    /// let mut bucket = Bucket::new(Default::default());
    /// assert_eq!(bucket.grant().milli(), 0);
    /// ```
    pub fn grant(&mut self) -> Budget {
        if self.milli < self.options.reserve_milli + MAX_CARRIED_MILLI {
            return Budget::default();
        }
        self.milli -= MAX_CARRIED_MILLI;
        Budget {
            milli: MAX_CARRIED_MILLI,
        }
    }

    /// Puts back what a call carried and did not spend.
    ///
    /// ```
    /// # use hitch_retry::Bucket;
    /// # use hitch_retry::Budget;
    /// let mut bucket = Bucket::new(Default::default());
    /// bucket.put_back(Budget::from_milli(1_000));
    /// assert_eq!(bucket.milli(), 1_000);
    /// ```
    pub fn put_back(&mut self, left: Budget) {
        self.add(left.milli);
    }

    fn add(&mut self, milli: u32) {
        self.milli = self
            .milli
            .saturating_add(milli)
            .min(self.options.capacity_milli);
    }
}

/// What one call may still spend on retries at or below the node that holds it.
///
/// It is neither `Copy` nor `Clone`: handing it to the next level leaves nothing behind.
///
/// ```
/// use hitch_retry::Budget;
///
/// let mut budget = Budget::from_milli(1_000);
/// let below = budget.hand_down();
/// assert!(!budget.try_spend());
/// budget.take_back(Some(below.milli()));
/// assert!(budget.try_spend());
/// ```
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Budget {
    milli: u32,
}

impl Budget {
    /// Reads the budget that arrived with a call, cut to [`MAX_CARRIED_MILLI`].
    ///
    /// ```
    /// assert_eq!(hitch_retry::Budget::from_milli(u32::MAX).milli(), 1_000);
    /// ```
    pub fn from_milli(milli: u32) -> Budget {
        Budget {
            milli: milli.min(MAX_CARRIED_MILLI),
        }
    }

    /// Returns what is left, in thousandths of a call.
    ///
    /// ```
    /// assert_eq!(hitch_retry::Budget::default().milli(), 0);
    /// ```
    pub fn milli(&self) -> u32 {
        self.milli
    }

    /// Pays for one retry or hedge and returns whether the budget sufficed.
    ///
    /// ```
    /// assert!(hitch_retry::Budget::from_milli(1_000).try_spend());
    /// ```
    pub fn try_spend(&mut self) -> bool {
        if self.milli < RETRY_COST_MILLI {
            return false;
        }
        self.milli -= RETRY_COST_MILLI;
        true
    }

    /// Moves the whole budget to the next level.
    ///
    /// ```
    /// # let mut budget = hitch_retry::Budget::from_milli(1_000);
    /// assert_eq!(budget.hand_down().milli(), 1_000);
    /// assert_eq!(budget.milli(), 0);
    /// ```
    pub fn hand_down(&mut self) -> Budget {
        std::mem::take(self)
    }

    /// Takes back what the next level's answer says is left.
    ///
    /// An answer that says nothing counts as all spent: the levels below may have used it.
    ///
    /// ```
    /// # let mut budget = hitch_retry::Budget::from_milli(1_000);
    /// budget.hand_down();
    /// budget.take_back(None);
    /// assert_eq!(budget.milli(), 0);
    /// ```
    pub fn take_back(&mut self, left_milli: Option<u32>) {
        self.milli = left_milli.unwrap_or(0).min(MAX_CARRIED_MILLI);
    }
}
